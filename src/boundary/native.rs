//! This product's own protocol.

use std::net::IpAddr;
use std::time::Duration;
use std::time::SystemTime;

use compact_str::ToCompactString;
use http::HeaderName;

use super::AttemptContext;
use super::Boundary;
use super::Classification;
use super::Compiler;
use super::Metadata;
use super::Operation;
use super::Reply;
use crate::balance::Backpressure;
use crate::balance::Limit;
use crate::exchange;
use crate::exchange::Outcome;
use crate::exchange::Refusal;
use crate::exchange::Request;
use crate::exchange::Response;
use crate::rule;
use crate::rule::Rules;
use crate::team::Secret;
use crate::upstream::DRAINING_HEADER;

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// The caller's API key, which is not passed on to upstreams.
const API_KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");
/// The team that the API key proves, sent to the upstream. A value from the caller is dropped.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-team");
/// Requests per second that an upstream takes from all entries together.
const UPSTREAM_LIMIT_HEADER: HeaderName = HeaderName::from_static("x-upstream-limit");
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static(exchange::TIMEOUT_HEADER);

/// This product's own protocol, with `x-` headers and rules in YAML.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

/// Compiles rules in YAML.
#[derive(Debug)]
struct RulesCompiler;

impl Compiler for RulesCompiler {
    fn compile(&mut self, document: &str) -> Result<Rules, String> {
        Rules::parse(document).map_err(|error| error.to_string())
    }
}

impl Boundary for Native {
    fn read_metadata(&self, request: &Request, peer: IpAddr) -> Metadata {
        let header = request.header(exchange::CALLER_HEADER);
        Metadata {
            budget: exchange::request_timeout(request),
            caller: header.map_or_else(|| peer.to_compact_string(), Into::into),
            id: None,
            key: exchange::joined_value(request, &API_KEY_HEADER).map(|key| Secret::new(&key)),
        }
    }

    fn prepare(&self, request: &mut Request, context: &AttemptContext<'_>) {
        request.set_header(REQUEST_ID_HEADER, context.id);
        request.set_header(TIMEOUT_HEADER, context.remaining.as_millis().to_string());
        request.headers.remove(API_KEY_HEADER);
        request.headers.remove(TEAM_HEADER);
        if let Some(team) = context.team {
            request.set_header(TEAM_HEADER, team);
        }
    }

    fn prepare_forwarding(&self, request: &mut Request, remaining: Duration) {
        request.set_header(TIMEOUT_HEADER, remaining.as_millis().to_string());
    }

    fn classify(&self, service: Option<&rule::Service>, response: &Response) -> Classification {
        let not_run = service.map(|service| &service.not_run).is_some_and(|signal| {
            signal.proves(response.status, response.header(signal.header.as_str()))
        });
        match response.status {
            _ if not_run => Classification::NotRun,
            500.. => Classification::Failed,
            _ => Classification::Served,
        }
    }

    fn backpressure(&self, response: &Response) -> Backpressure {
        let limit = response.header(UPSTREAM_LIMIT_HEADER.as_str());
        let limit = limit.and_then(|text| text.parse().ok());
        Backpressure {
            is_leaving: response.header(DRAINING_HEADER) == Some("true"),
            limit: limit.and_then(Limit::new),
            rest: exchange::rest(response, SystemTime::now()),
        }
    }

    fn refuse(&self, refusal: &Refusal) -> Response {
        let Refusal { outcome, reason, retry_after, status } = refusal;
        exchange::refuse(*status, *outcome, reason, *retry_after)
    }

    fn compiler(&self) -> Box<dyn Compiler> {
        Box::new(RulesCompiler)
    }

    fn parse_operation(&self, request: &Request, _: &[u8]) -> Result<Operation, Refusal> {
        let text = format!("`{}` is not served here", request.path());
        Err(Refusal::new(404, Outcome::NotRun, text))
    }

    fn respond(&self, _: Reply) -> Response {
        Response::new(204)
    }
}
