//! Measurements that can be made again by one command, with small reports.
