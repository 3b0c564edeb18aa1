//! TLS of the caller and operator ports.

use eyre::WrapErr;
use gcl_core::settings::Tls;
use rustls::{
    ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};

/// Builds a server configuration from the certificate and key files in the settings.
///
/// # Errors
/// A file cannot be read, or the key does not match the certificate.
pub fn server(tls: &Tls) -> eyre::Result<ServerConfig> {
    let chain = CertificateDer::pem_file_iter(&tls.certificate)
        .wrap_err_with(|| format!("cannot read {}", tls.certificate))?
        .collect::<Result<Vec<_>, _>>()
        .wrap_err_with(|| format!("cannot read {}", tls.certificate))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .wrap_err_with(|| format!("cannot read {}", tls.key))?;
    Ok(ServerConfig::builder().with_no_client_auth().with_single_cert(chain, key)?)
}
