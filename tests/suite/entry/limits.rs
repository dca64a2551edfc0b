//! Rate limits of teams.

use async_std::task::block_on;

use super::fixture::Fixture;
use super::fixture::Script;

/// Rules that limit a team to `burst` requests, and one more in any five seconds.
fn rules(burst: u32) -> String {
    format!(
        "
services: {{hull-register: {{floor: 50%}}}}
teams:
  yard-linz: {{callers: [surveyor-huber], rate: 0.2, burst: {burst}}}
rules:
  - name: lookup
    when: {{path: /hulls/*}}
    then: {{route: {{service: hull-register}}, terms: {{deadline: 2s, idempotent: true}}}}
"
    )
}

async fn get(fixture: &Fixture, caller: &str) -> String {
    let text = format!(
        "GET /hulls/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-caller: {caller}\r\n\r\n"
    );
    fixture.send(text.as_bytes()).await
}

// A team exceeds its limit. Requests within the limit are served, including the first one, for
// which the entry must request quota from control. The others are refused as not run, with the time
// until the oldest counted request leaves the window. Other callers are not affected.
#[test]
fn get_above_limit() {
    block_on(async {
        let fixture = Fixture::start_with_rules(&rules(4), &[Script::AnswerLength]).await;
        let mut served = 0;
        for _ in 0..12 {
            let answer = get(&fixture, "surveyor-huber").await;
            if answer.starts_with("HTTP/1.1 200 ") {
                served += 1;
                continue;
            }
            assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
            assert!(answer.contains("x-hemlockfield-outcome: not-run"), "{answer}");
            let after = answer
                .split("x-retry-after-ms: ")
                .nth(1)
                .expect("the answer has no x-retry-after-ms header");
            let after: u64 = after.split('\r').next().unwrap().parse().unwrap();
            assert!((100..=5_500).contains(&after), "{after}");
        }
        assert_eq!(served, 5);
        assert_eq!(fixture.request_count(), 5);
        let answer = get(&fixture, "surveyor-maier").await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

// Upstreams refuse a team's requests and declare that they did not run. Such requests do not count
// against the team's limit.
#[test]
fn get_shed_is_given_back() {
    const NOT_RUN_ANSWER: &str =
        "HTTP/1.1 503 Service Unavailable\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n";
    block_on(async {
        let fixture = Fixture::start_with_rules(&rules(1), &[Script::Write(NOT_RUN_ANSWER)]).await;
        for _ in 0..6 {
            let answer = get(&fixture, "surveyor-huber").await;
            assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        }
    });
}
