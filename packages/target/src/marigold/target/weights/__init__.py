"""Exchange of model weights between hosts, and orders to load them."""
