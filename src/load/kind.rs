use std::str::FromStr;

use compact_str::CompactString;
use http::Method;

use super::Error;

/// One kind of request in a load's mix.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Bytes of the answer's body.
    pub down: usize,
    /// Whether each request has an idempotency key, and must run at most once.
    pub keyed: bool,
    /// Host asked for.
    pub host: CompactString,
    /// Method.
    pub method: Method,
    /// Name in reports.
    pub name: CompactString,
    /// Path asked for.
    pub path: CompactString,
    /// Bytes of the request's body.
    pub up: usize,
    /// Share among the kinds, relative to the others' weights.
    pub weight: u32,
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error::Kind(text.to_owned());
        let parts: Vec<&str> = text.split(':').collect();
        let [name, weight, method, place, sizes @ ..] = parts.as_slice() else {
            return Err(wrong());
        };
        let (host, path) = place.split_once('/').ok_or_else(wrong)?;
        let size = |at: usize| sizes.get(at).map_or(Ok(0), |size| size.parse());
        let method = method.parse().map_err(|_| wrong())?;
        Ok(Self {
            down: size(1).map_err(|_| wrong())?,
            host: host.into(),
            keyed: method == Method::POST,
            method,
            name: (*name).into(),
            path: format!("/{path}").into(),
            up: size(0).map_err(|_| wrong())?,
            weight: weight.parse().map_err(|_| wrong())?,
        })
    }
}
