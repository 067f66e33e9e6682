"""The environment document and the changes between its versions."""
