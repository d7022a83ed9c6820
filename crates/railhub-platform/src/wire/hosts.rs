//! Health checks of hosts: HTTP/1.1 over plain TCP, one request per connection.

/// Path of the health check.
pub const HEALTH_CHECK_PATH: &str = "/alive";
/// HTTP status of a host that is up but does not accept requests.
pub const NOT_SERVING_STATUS: u16 = 503;
