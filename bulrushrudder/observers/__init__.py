"""A VM's view of the log, its freshness, and leases of its sessions."""
