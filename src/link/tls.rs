//! TLS configuration of links.

use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::client::Resumption;
use rustls::server::NoServerSessionStorage;
use rustls::version::TLS13;

use crate::keys::Identity;
use crate::keys::provider;

use super::Error;
use super::Settings;

/// Protocol name in the handshake; a process of another generation is refused.
const PROTOCOL: &[u8] = b"hemlockfield/1";
/// Streams that a peer may have open: a frame is a stream of its own.
const STREAM_LIMIT: u32 = 64;
/// Bytes that a peer may have under way to this process.
const RECEIVE_WINDOW: u32 = 4 << 20;
/// Bytes under way to a peer.
const SEND_WINDOW: u64 = 4 << 20;
/// Packet size that every path carries. Larger ones would have to be probed for,
/// which costs a new link more than its control traffic ever gains.
const PACKET_BYTES: u16 = 1200;

/// Both ends' configuration for one identity.
#[derive(Clone, Debug)]
pub(super) struct Tls {
    /// For links that this process dials.
    pub(super) client: ClientConfig,
    /// For links that it accepts.
    pub(super) server: ServerConfig,
}

impl Tls {
    /// Configuration by an identity.
    ///
    /// Sessions are not resumed: a resumed one would skip the check of a
    /// certificate that has expired since.
    pub(super) fn new(identity: &Identity, settings: &Settings) -> Result<Self, Error> {
        let transport = transport(settings)?;
        let mut client = ClientConfig::new(Arc::new(client(identity)?));
        client.transport_config(Arc::new(dialled(settings)?));
        let mut server = ServerConfig::with_crypto(Arc::new(server(identity)?));
        server.transport_config(Arc::new(transport));
        Ok(Self { client, server })
    }
}

fn client(identity: &Identity) -> Result<QuicClientConfig, Error> {
    let builder = rustls::ClientConfig::builder_with_provider(provider());
    let builder = builder.with_protocol_versions(&[&TLS13]).map_err(error)?;
    let builder = builder.with_root_certificates(identity.roots());
    let chain = vec![identity.certificate()];
    let mut config = builder.with_client_auth_cert(chain, identity.key()).map_err(error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    config.resumption = Resumption::disabled();
    QuicClientConfig::try_from(config).map_err(error)
}

fn server(identity: &Identity) -> Result<QuicServerConfig, Error> {
    let builder = rustls::ServerConfig::builder_with_provider(provider());
    let builder = builder.with_protocol_versions(&[&TLS13]).map_err(error)?;
    let builder = builder.with_client_cert_verifier(identity.verifier()?);
    let chain = vec![identity.certificate()];
    let mut config = builder.with_single_cert(chain, identity.key()).map_err(error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    QuicServerConfig::try_from(config).map_err(error)
}

fn transport(settings: &Settings) -> Result<TransportConfig, Error> {
    let mut config = TransportConfig::default();
    let idle = IdleTimeout::try_from(idle_limit(settings)).map_err(error)?;
    config.max_idle_timeout(Some(idle));
    config.max_concurrent_uni_streams(VarInt::from_u32(STREAM_LIMIT));
    config.max_concurrent_bidi_streams(VarInt::from_u32(0));
    config.datagram_receive_buffer_size(None);
    config.receive_window(VarInt::from_u32(RECEIVE_WINDOW));
    config.send_window(SEND_WINDOW);
    config.initial_mtu(PACKET_BYTES);
    config.mtu_discovery_config(None);
    Ok(config)
}

/// Only the dialling end keeps a link alive; an acknowledgement proves both ways.
fn dialled(settings: &Settings) -> Result<TransportConfig, Error> {
    let mut config = transport(settings)?;
    config.keep_alive_interval(Some(settings.keep_alive));
    Ok(config)
}

/// The accepting end, which may have nothing to send, notices a silent path by
/// two lost keep-alives; the dialling end has noticed long before.
fn idle_limit(settings: &Settings) -> Duration {
    (settings.keep_alive + settings.silent_after) * 2
}

fn error(error: impl ToString) -> Error {
    Error::Tls { reason: error.to_string() }
}
