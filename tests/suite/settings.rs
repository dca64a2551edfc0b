//! Tests of `hemlockfield::settings`.
