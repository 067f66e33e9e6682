"""Rate and burst of client accounts over the fleet."""
