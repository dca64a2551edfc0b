//! Mutually authenticated QUIC links between our processes.
