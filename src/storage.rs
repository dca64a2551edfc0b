//! The data folder: checksummed records, synced before anything depends on them.
