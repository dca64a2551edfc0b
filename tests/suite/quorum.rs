//! Tests of `hemlockfield::quorum`.
