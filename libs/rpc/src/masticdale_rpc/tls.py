"""Contexts for mutual TLS between hosts."""

import ssl

from masticdale_rpc.settings import TlsSettings, raise_invalid_settings


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a server context that requires a trusted client certificate.

    Raises:
        MasticdaleError: INVALID_SETTINGS if a file cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load_files(context, tls)


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a client context that verifies the server's host name.

    It presents this host's own certificate.

    Raises:
        MasticdaleError: INVALID_SETTINGS if a file cannot be loaded.
    """
    return _load_files(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), tls)


def _load_files(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authorities)
    except OSError as error:
        raise_invalid_settings(
            f"tls: {error}. Hint: set certificate, key and authorities to PEM"
            " files that match each other."
        )
    return context
