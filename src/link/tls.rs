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

/// Protocol name of the handshake. A process with another protocol version is refused.
const ALPN_PROTOCOL: &[u8] = b"hemlockfield/1";
/// Streams that a peer may have open. Each frame has a stream of its own.
const MAX_STREAMS: u32 = 64;
/// Bytes that a peer may have in flight to this process.
const RECEIVE_WINDOW_BYTES: u32 = 4 << 20;
/// Bytes that this process may have in flight to a peer.
const SEND_WINDOW_BYTES: u64 = 4 << 20;
/// Size of a packet that every path carries. Larger packets need path MTU discovery, which costs a
/// new link more than its control traffic can gain.
const PACKET_BYTES: u16 = 1200;

/// Client and server configuration for one identity.
#[derive(Clone, Debug)]
pub(super) struct Tls {
    /// Configuration of links that this process dials.
    pub(super) client: ClientConfig,
    /// Configuration of links that it accepts.
    pub(super) server: ServerConfig,
}

impl Tls {
    /// Creates the configuration for an identity.
    ///
    /// TLS sessions are not resumed: a resumed one would skip the check of a certificate that has
    /// expired since.
    pub(super) fn new(identity: &Identity, settings: &Settings) -> Result<Self, Error> {
        let transport = transport(settings)?;
        let mut client = ClientConfig::new(Arc::new(client_crypto(identity)?));
        client.transport_config(Arc::new(client_transport(settings)?));
        let mut server = ServerConfig::with_crypto(Arc::new(server_crypto(identity)?));
        server.transport_config(Arc::new(transport));
        Ok(Self { client, server })
    }
}

fn client_crypto(identity: &Identity) -> Result<QuicClientConfig, Error> {
    let builder = rustls::ClientConfig::builder_with_provider(provider());
    let builder = builder.with_protocol_versions(&[&TLS13]).map_err(tls_error)?;
    let builder = builder.with_root_certificates(identity.roots());
    let chain = vec![identity.certificate()];
    let mut config = builder.with_client_auth_cert(chain, identity.key()).map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    config.resumption = Resumption::disabled();
    QuicClientConfig::try_from(config).map_err(tls_error)
}

fn server_crypto(identity: &Identity) -> Result<QuicServerConfig, Error> {
    let builder = rustls::ServerConfig::builder_with_provider(provider());
    let builder = builder.with_protocol_versions(&[&TLS13]).map_err(tls_error)?;
    let builder = builder.with_client_cert_verifier(identity.verifier()?);
    let chain = vec![identity.certificate()];
    let mut config = builder.with_single_cert(chain, identity.key()).map_err(tls_error)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    QuicServerConfig::try_from(config).map_err(tls_error)
}

fn transport(settings: &Settings) -> Result<TransportConfig, Error> {
    let mut config = TransportConfig::default();
    let idle = IdleTimeout::try_from(idle_timeout(settings)).map_err(tls_error)?;
    config.max_idle_timeout(Some(idle));
    config.max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    config.max_concurrent_bidi_streams(VarInt::from_u32(0));
    config.datagram_receive_buffer_size(None);
    config.receive_window(VarInt::from_u32(RECEIVE_WINDOW_BYTES));
    config.send_window(SEND_WINDOW_BYTES);
    config.initial_mtu(PACKET_BYTES);
    config.mtu_discovery_config(None);
    Ok(config)
}

/// Returns the transport configuration of the dialling end. Only that end sends keep-alives, since
/// an acknowledgement proves that both directions work.
fn client_transport(settings: &Settings) -> Result<TransportConfig, Error> {
    let mut config = transport(settings)?;
    config.keep_alive_interval(Some(settings.keep_alive));
    Ok(config)
}

/// Returns the idle timeout. It lets the accepting end, which may have nothing to send, detect a
/// silent path after two lost keep-alives. The dialling end detects it long before.
fn idle_timeout(settings: &Settings) -> Duration {
    (settings.keep_alive + settings.silent_after) * 2
}

fn tls_error(error: impl ToString) -> Error {
    Error::Tls { reason: error.to_string() }
}
