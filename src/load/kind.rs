use std::str::FromStr;

use compact_str::CompactString;
use http::Method;

use super::Error;

/// One kind of request in the mix of a load.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Size of the answer's body in bytes.
    pub down: usize,
    /// Whether each request carries an idempotency key and must run at most once.
    pub keyed: bool,
    /// Host header of the request.
    pub host: CompactString,
    /// HTTP method.
    pub method: Method,
    /// Name of the kind in reports.
    pub name: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Size of the request's body in bytes.
    pub up: usize,
    /// Share of this kind, relative to the weights of the others.
    pub weight: u32,
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Kind(text.to_owned());
        let parts: Vec<&str> = text.split(':').collect();
        let [name, weight, method, url, sizes @ ..] = parts.as_slice() else {
            return Err(invalid());
        };
        let (host, path) = url.split_once('/').ok_or_else(invalid)?;
        let size = |index: usize| sizes.get(index).map_or(Ok(0), |size| size.parse());
        let method = method.parse().map_err(|_| invalid())?;
        Ok(Self {
            down: size(1).map_err(|_| invalid())?,
            host: host.into(),
            keyed: method == Method::POST,
            method,
            name: (*name).into(),
            path: format!("/{path}").into(),
            up: size(0).map_err(|_| invalid())?,
            weight: weight.parse().map_err(|_| invalid())?,
        })
    }
}
