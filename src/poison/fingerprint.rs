/// Hash of what makes two requests the same one to an upstream: service, method, path with query, caller
/// or team, and body. A body that is streamed counts with its declared length alone.
pub type Fingerprint = u64;
