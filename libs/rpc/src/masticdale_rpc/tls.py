"""TLS contexts between hosts: both sides show a certificate."""

import ssl

from masticdale_rpc.settings import TlsSettings, invalid


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that accepts only peers with a signed certificate.

    Raises:
        MasticdaleError: INVALID_SETTINGS, where a file cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _loaded(context, tls)


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that checks the peer's name and shows this host's.

    Raises:
        MasticdaleError: INVALID_SETTINGS, where a file cannot be used.
    """
    return _loaded(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), tls)


def _loaded(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authorities)
    except OSError as error:
        invalid(
            f"tls: {error}. Hint: give PEM files for certificate, key and"
            " authorities that belong together."
        )
    return context
