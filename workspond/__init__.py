"""A load-balancing node for services that call services, with delay-controlled retries."""
