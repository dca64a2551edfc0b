use crate::settings::Scalar;

/// State of a service, derived from the health of its upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceState {
    /// Ejections have reached the floor; more upstreams may be unhealthy.
    AtFloor,
    /// Some upstreams are ejected.
    Degraded,
    /// No upstream accepts requests.
    Down,
    /// Every upstream accepts requests.
    #[default]
    Healthy,
}

impl Scalar for ServiceState {
    const KIND: &'static str = "a state of a service";
    const ALLOWED: &'static str = "write `healthy`, `degraded`, `at_floor` or `down`";

    fn read(text: &str) -> Option<Self> {
        match text {
            "at_floor" => Some(Self::AtFloor),
            "degraded" => Some(Self::Degraded),
            "down" => Some(Self::Down),
            "healthy" => Some(Self::Healthy),
            _ => None,
        }
    }

    fn show(&self) -> String {
        match self {
            Self::AtFloor => "at_floor".into(),
            Self::Degraded => "degraded".into(),
            Self::Down => "down".into(),
            Self::Healthy => "healthy".into(),
        }
    }
}

/// Provides the states of services to conditions.
pub trait StateSource {
    /// Returns the state of `service` as known to this process.
    fn state(&self, service: &str) -> ServiceState;
}

/// Reports every service as healthy.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllHealthy;

impl StateSource for AllHealthy {
    fn state(&self, _: &str) -> ServiceState {
        ServiceState::Healthy
    }
}
