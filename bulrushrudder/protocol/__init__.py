"""Protocol between entry and control processes."""
