"""The control process: it carries out consensus decisions."""
