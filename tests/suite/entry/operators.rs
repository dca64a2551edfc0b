//! What operators and upstreams send to a process, cut short.

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::block_on;

use super::fixture::Fixture;
use super::fixture::RULES;
use super::fixture::read_all;

// The connection of an operator breaks within a configuration. What arrived of it is valid and has
// fewer rules; it must not be accepted.
#[test]
fn put_configuration_cut() {
    block_on(async {
        let fixture = Fixture::start(&[]).await;
        let document = RULES.trim_end();
        let (whole, _) = document.split_at(document.find("  - name: closed").unwrap());
        let mut stream = TcpStream::connect(fixture.node.operator_address()).await.unwrap();
        let head = format!(
            "PUT /v1/configuration/2?submission=cut HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
            document.len()
        );
        stream.write_all(format!("{head}{whole}").as_bytes()).await.unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let answer = read_all(&mut stream).await;
        assert!(!answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert_eq!(fixture.node.configuration_number(), Some(1));
    });
}
