//! Model of upstreams and callers in virtual time, for experiments on decisions.
