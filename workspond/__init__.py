"""A load-balancing node for requests between services, with delay-controlled retries."""
