/* Preloaded into a node: steps its wall clock and makes selected system calls fail.
 *
 * SOAK_SHIM names a file that the node and the soak both map; its layout is `struct control`, which must match
 * soak/shim.py. If SOAK_SHIM is not set or the file can't be mapped, all calls are passed on unchanged.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

struct control {
    volatile int64_t wall_offset_ns;
    volatile int64_t accept_errno; /* error number of failing calls; 0: calls are passed on */
    volatile int64_t socket_errno;
    volatile int64_t log_errno; /* for writes to standard error */
    volatile int64_t calls_failed;
};

static struct control no_faults;
static struct control *control = &no_faults;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SOAK_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped != MAP_FAILED) control = mapped;
    close(fd);
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int fails(volatile int64_t *error) {
    if (!*error) return 0;
    errno = (int)*error;
    control->calls_failed++;
    return 1;
}

int clock_gettime(clockid_t id, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real) real = REAL(clock_gettime);
    int result = real(id, now);
    if (result == 0 && id == CLOCK_REALTIME) {
        int64_t ns = now->tv_sec * 1000000000LL + now->tv_nsec + control->wall_offset_ns;
        now->tv_sec = ns / 1000000000LL;
        now->tv_nsec = ns % 1000000000LL;
    }
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    if (!real) real = REAL(accept4);
    return fails(&control->accept_errno) ? -1 : real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static __typeof__(&accept) real;
    if (!real) real = REAL(accept);
    return fails(&control->accept_errno) ? -1 : real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    if (!real) real = REAL(socket);
    return fails(&control->socket_errno) ? -1 : real(domain, type, protocol);
}

ssize_t write(int fd, const void *data, size_t size) {
    static __typeof__(&write) real;
    if (!real) real = REAL(write);
    return fd == 2 && fails(&control->log_errno) ? -1 : real(fd, data, size);
}
