//! One process: its control thread, its traffic threads and what joins them.
