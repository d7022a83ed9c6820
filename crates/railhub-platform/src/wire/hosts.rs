//! Health checks of hosts: HTTP/1.1 over plain TCP, one request a connection.

/// Path of the health check.
pub const HEALTH_CHECK_PATH: &str = "/alive";
/// HTTP status with which a host that is up declines requests.
pub const NOT_SERVING_STATUS: u16 = 503;
