//! Refused certificates and reloads of renewed ones.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task::block_on;
use hemlockfield::keys::Authority;
use hemlockfield::keys::Paths;
use hemlockfield::link::Endpoint;
use hemlockfield::link::Error;
use quinn::AsyncStdRuntime;
use quinn::ClientConfig;
use quinn::EndpointConfig;
use quinn::crypto::rustls::QuicClientConfig;
use rstest::rstest;
use rustls::RootCertStore;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;
use stop_token::StopSource;

use super::fixture::DAY;
use super::fixture::Fixture;
use super::fixture::now;
use super::fixture::wait_for;

/// Certificate that a dialling client presents.
enum Credential {
    Expired,
    Foreign,
    Nothing,
}

/// A client trusts the authority but has no valid certificate of its own. Its connection must be
/// refused, and the status must give the reason.
#[rstest]
#[case::expired(Credential::Expired, "expired")]
#[case::foreign(Credential::Foreign, "UnknownIssuer")]
#[case::nothing(Credential::Nothing, "no certificates")]
fn accept_invalid_certificate(#[case] credential: Credential, #[case] reason: &str) {
    let fixture = Fixture::new();
    let b = fixture.start("b");
    let (folder, past) = (fixture.folder_of("a"), now() - DAY * 10);
    let paths = match credential {
        Credential::Expired => Some(fixture.authority.issue(&folder, "a", past, DAY).unwrap()),
        Credential::Foreign => {
            let other = Authority::create(&fixture.folder_of("other"), now()).unwrap();
            Some(other.issue(&folder, "a", now(), DAY).unwrap())
        }
        Credential::Nothing => None,
    };
    dial(&fixture, paths, b.endpoint.address().unwrap());
    wait_for("the refusal", || b.endpoint.status().refused == 1);
    let refusal = b.endpoint.status().refusals.remove(0);
    assert!(refusal.reason.contains(reason), "{}", refusal.reason);
    assert!(!b.is_linked("a"));
}

/// Dials `b` with the certificate in `paths`, or with none, and waits for the close.
fn dial(fixture: &Fixture, paths: Option<Paths>, address: SocketAddr) {
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(fixture.authority.certificate().as_bytes()).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider);
    let builder = builder
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut config = match paths {
        Some(paths) => {
            let chain = vec![CertificateDer::from_pem_file(&paths.identity).unwrap()];
            builder
                .with_client_auth_cert(
                    chain,
                    PrivateKeyDer::from_pem_file(&paths.identity).unwrap(),
                )
                .unwrap()
        }
        None => builder.with_no_client_auth(),
    };
    config.alpn_protocols = vec![b"hemlockfield/1".to_vec()];
    let config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(config).unwrap()));
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let runtime = Arc::new(AsyncStdRuntime);
    let endpoint = quinn::Endpoint::new(EndpointConfig::default(), None, socket, runtime).unwrap();
    block_on(async {
        let connection = endpoint.connect_with(config, address, "b").unwrap().await.unwrap();
        connection.closed().await;
    });
}

/// A process of another fleet, or another VM of this fleet, answers at the peer's address. It must
/// get no frames, and the status must give the reason.
#[rstest]
#[case::foreign(true, "UnknownIssuer")]
#[case::other_name(false, "not valid for name")]
fn dial_wrong_peer(#[case] foreign: bool, #[case] reason: &str) {
    let fixture = Fixture::new();
    let other_fleet = Fixture::new();
    let a = fixture.start("a");
    let peer = if foreign { other_fleet.start("b") } else { fixture.start("c") };
    a.set_address("b", &peer);
    a.send("b", b"secret");
    wait_for("the error", || a.peer("b").error.is_some());
    let error = a.peer("b").error.unwrap();
    assert!(error.contains(reason), "{error}");
    wait_for("the refusal", || peer.endpoint.status().refused > 0);
    assert_eq!(peer.frames.try_iter().count(), 0);
}

/// A VM's certificate is renewed while its process runs. The process must load it by itself, keep
/// its links and accept new ones.
#[test]
fn reload_renewed_certificate() {
    let fixture = Fixture::new();
    let (a, b, c) = (fixture.start("a"), fixture.start("b"), fixture.start("c"));
    a.set_address("b", &b);
    c.set_address("b", &b);
    a.send("b", b"before");
    assert_eq!(b.receive().1, b"before");
    let until = b.endpoint.status().certificate_until;
    fixture.authority.issue(&fixture.folder_of("b"), "b", now(), DAY * 2).unwrap();
    wait_for("the new certificate", || b.endpoint.status().certificate_until > until);
    a.send("b", b"old link");
    assert_eq!(b.receive().1, b"old link");
    c.send("b", b"new link");
    assert_eq!(b.receive().1, b"new link");
}

/// An expired or damaged file replaces a valid one. The process must continue with the old
/// certificate, and the status must give the error.
#[test]
fn reload_invalid_certificate() {
    let fixture = Fixture::new();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    a.set_address("b", &b);
    fixture.authority.issue(&fixture.folder_of("b"), "b", now() - DAY * 10, DAY).unwrap();
    wait_for("the error", || b.endpoint.status().keys_error.is_some());
    assert_eq!(b.endpoint.status().keys_error.unwrap(), "certificate of `b` has expired");
    fs::write(fixture.folder_of("b").join("identity.pem"), "").unwrap();
    assert!(matches!(b.endpoint.reload(), Err(Error::Keys(_))));
    a.send("b", b"still");
    assert_eq!(b.receive().1, b"still");
    fixture.issue("b");
    wait_for("the reload of a valid certificate", || b.endpoint.status().keys_error.is_none());
}

#[test]
fn start_name_mismatch() {
    let fixture = Fixture::new();
    let mut settings = fixture.settings("a");
    settings.id = "b".into();
    let started = Endpoint::start(settings, Box::new(|_: &_, _| {}), StopSource::new().token());
    let error = started.err().unwrap().to_string();
    assert_eq!(error, "certificate says `a`, but this process is `b`");
}
