//! Certificates of the caller and operator ports.

use eyre::WrapErr;
use gcl_core::settings::Tls;
use rustls::{
    ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};

/// Reads the files of a port into a server configuration.
///
/// # Errors
/// A file that cannot be read, or a key that does not belong to its certificate.
pub fn server(tls: &Tls) -> eyre::Result<ServerConfig> {
    let chain = CertificateDer::pem_file_iter(&tls.certificate)
        .wrap_err_with(|| format!("cannot read {}", tls.certificate))?
        .collect::<Result<Vec<_>, _>>()
        .wrap_err_with(|| format!("cannot read {}", tls.certificate))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .wrap_err_with(|| format!("cannot read {}", tls.key))?;
    Ok(ServerConfig::builder().with_no_client_auth().with_single_cert(chain, key)?)
}
