/// Headers of a request, looked up by name in lower case.
pub trait Headers {
    /// Returns the first value of header `name`.
    fn header(&self, name: &str) -> Option<&str>;
}

impl Headers for [(&str, &str)] {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| *value)
    }
}

impl Headers for Vec<(String, String)> {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

impl<const N: usize> Headers for [(&str, &str); N] {
    fn header(&self, name: &str) -> Option<&str> {
        self.as_slice().header(name)
    }
}
