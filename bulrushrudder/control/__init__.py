"""The control process, which replicates the log by consensus."""
