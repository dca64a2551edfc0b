//! The product's own interface.

use std::net::IpAddr;

use compact_str::ToCompactString;
use http::HeaderName;

use super::AttemptContext;
use super::Boundary;
use super::Classification;
use super::Metadata;
use super::Operation;
use super::Reply;
use crate::exchange;
use crate::exchange::Outcome;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::rule;
use crate::rule::Rules;
use crate::team::Secret;

const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// The caller's API key; upstreams never see it.
const KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");
/// Tells an upstream the team that the key proved; what a caller says under it is dropped.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-team");
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static(exchange::TIMEOUT_HEADER);

/// The product's own interface: `x-` headers, rules in YAML, operators under `/v1`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Boundary for Native {
    fn read_metadata(&self, request: &Request, peer: IpAddr) -> Metadata {
        let named = request.header(exchange::CALLER_HEADER);
        Metadata {
            budget: exchange::request_timeout(request),
            caller: named.map_or_else(|| peer.to_compact_string(), Into::into),
            id: None,
            key: exchange::joined_value(request, &KEY_HEADER).map(|key| Secret::new(&key)),
        }
    }

    fn prepare(&self, request: &mut Request, context: &AttemptContext<'_>) {
        request.set_header(REQUEST_HEADER, context.id);
        request.set_header(TIMEOUT_HEADER, context.remaining.as_millis().to_string());
        request.headers.remove(KEY_HEADER);
        request.headers.remove(TEAM_HEADER);
        if let Some(team) = context.team {
            request.set_header(TEAM_HEADER, team);
        }
    }

    fn classify(&self, service: Option<&rule::Service>, response: &Response) -> Classification {
        let not_run = service.map(|service| &service.not_run).is_some_and(|refusal| {
            refusal.proves(response.status, response.header(refusal.header.as_str()))
        });
        match response.status {
            _ if not_run => Classification::NotRun,
            500.. => Classification::Failed,
            _ => Classification::Served,
        }
    }

    fn refuse(&self, refusal: &Refusal) -> Response {
        let Refusal { outcome, reason, retry_after, status } = refusal;
        exchange::refuse(*status, *outcome, reason, *retry_after)
    }

    fn compile_rules(&self, document: &str) -> Result<Rules, String> {
        Rules::parse(document).map_err(|error| error.to_string())
    }

    fn parse_operation(&self, request: &Request, _: &[u8]) -> Result<Operation, Refusal> {
        let text = format!("`{}` is not served here", request.path());
        Err(Refusal::new(404, Outcome::NotRun, text))
    }

    fn respond(&self, _: Reply) -> Response {
        Response::new(204)
    }
}
