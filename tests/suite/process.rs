//! Tests of separately started processes on loopback.
