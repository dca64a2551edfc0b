//! Events of all processes, merged in causal order.
