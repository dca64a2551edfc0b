//! Certificates that are refused, and renewed ones that are taken up.

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

use super::site::DAY;
use super::site::Site;
use super::site::now;
use super::site::wait_for;

/// What a stranger shows.
enum Shown {
    Expired,
    Foreign,
    Nothing,
}

/// A client trusts our authority, but has no good certificate of its own. Its
/// connection is refused; the operator finds the reason in the status and the log.
#[rstest]
#[case::expired(Shown::Expired, "expired")]
#[case::foreign(Shown::Foreign, "UnknownIssuer")]
#[case::nothing(Shown::Nothing, "no certificates")]
fn accept_bad_certificate(#[case] shown: Shown, #[case] reason: &str) {
    let site = Site::new();
    let b = site.start("b");
    let (folder, past) = (site.folder_of("a"), now() - DAY * 10);
    let paths = match shown {
        Shown::Expired => Some(site.authority.issue(&folder, "a", past, DAY).unwrap()),
        Shown::Foreign => {
            let other = Authority::create(&site.folder_of("other"), now()).unwrap();
            Some(other.issue(&folder, "a", now(), DAY).unwrap())
        }
        Shown::Nothing => None,
    };
    dial(&site, paths, b.endpoint.address().unwrap());
    wait_for("the refusal", || b.endpoint.status().refused == 1);
    let refusal = b.endpoint.status().refusals.remove(0);
    assert!(refusal.reason.contains(reason), "{}", refusal.reason);
    assert!(!b.is_linked("a"));
}

/// Dials as "a", with these files' certificate or none.
fn dial(site: &Site, paths: Option<Paths>, address: SocketAddr) {
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(site.authority.certificate().as_bytes()).unwrap())
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

/// Another fleet's process answers at the peer's address, or another VM of ours.
/// It is not taken for the peer, and the status tells why.
#[rstest]
#[case::foreign(true, "UnknownIssuer")]
#[case::other_name(false, "not valid for name")]
fn dial_wrong_peer(#[case] foreign: bool, #[case] reason: &str) {
    let site = Site::new();
    let other = Site::new();
    let a = site.start("a");
    let peer = if foreign { other.start("b") } else { site.start("c") };
    a.knows("b", &peer);
    a.send("b", b"secret");
    wait_for("the error", || a.peer("b").error.is_some());
    let error = a.peer("b").error.unwrap();
    assert!(error.contains(reason), "{error}");
    wait_for("the refusal", || peer.endpoint.status().refused > 0);
    assert_eq!(peer.frames.try_iter().count(), 0);
}

/// A VM's certificate is renewed while its process runs. The process takes it up
/// by itself, keeps its links, and makes new ones.
#[test]
fn renew_while_running() {
    let site = Site::new();
    let (a, b, c) = (site.start("a"), site.start("b"), site.start("c"));
    a.knows("b", &b);
    c.knows("b", &b);
    a.send("b", b"before");
    assert_eq!(b.receive().1, b"before");
    let until = b.endpoint.status().certificate_until;
    site.authority.issue(&site.folder_of("b"), "b", now(), DAY * 2).unwrap();
    wait_for("the new certificate", || b.endpoint.status().certificate_until > until);
    a.send("b", b"old link");
    assert_eq!(b.receive().1, b"old link");
    c.send("b", b"new link");
    assert_eq!(b.receive().1, b"new link");
}

/// An expired or damaged file is put in place of a good one. The process goes on
/// with what it has, and the status says what is wrong.
#[test]
fn renew_with_bad_file() {
    let site = Site::new();
    let (a, b) = (site.start("a"), site.start("b"));
    a.knows("b", &b);
    site.authority.issue(&site.folder_of("b"), "b", now() - DAY * 10, DAY).unwrap();
    wait_for("the error", || b.endpoint.status().keys_error.is_some());
    assert_eq!(b.endpoint.status().keys_error.unwrap(), "certificate of `b` has expired");
    fs::write(site.folder_of("b").join("identity.pem"), "").unwrap();
    assert!(matches!(b.endpoint.reload(), Err(Error::Keys(_))));
    a.send("b", b"still");
    assert_eq!(b.receive().1, b"still");
    site.issue("b");
    wait_for("the mend", || b.endpoint.status().keys_error.is_none());
}

#[test]
fn start_as_another() {
    let site = Site::new();
    let mut settings = site.settings("a");
    settings.me = "b".into();
    let started = Endpoint::start(settings, Box::new(|_: &_, _| {}), StopSource::new().token());
    let error = started.err().unwrap().to_string();
    assert_eq!(error, "certificate says `a`, but this process is `b`");
}
