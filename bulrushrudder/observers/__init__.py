"""What a VM knows of the log and how fresh it is."""
