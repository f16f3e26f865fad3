//! What arrives on the connections of this VM to its servers: when each server was last heard, and
//! which response answers a request.

mod channel_contact;
mod channel_key;
mod engine_silence;
mod expected_response;
mod server_connector;
mod server_contact;
mod server_contacts;
mod tcp_connector;

use self::channel_key::ChannelKey;
pub use self::server_connector::ServerConnector;
pub(crate) use self::{
    channel_contact::ChannelContact, engine_silence::EngineSilence,
    expected_response::ExpectedResponse, server_contact::ServerContact,
    server_contacts::ServerContacts, tcp_connector::TcpConnector,
};
