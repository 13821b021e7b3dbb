"""TLS on the callers' and operators' listeners when the settings ask for it."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path
from tempfile import TemporaryDirectory

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from dalemast.entry import EntryProcess
from dalemast.hosting import MemoryPlatform
from dalemast.http.client import HttpFailure, JsonClient
from dalemast.settings import EntrySettings, ListenerSettings, TlsSettings
from tests.base import FREE_ADDRESS, AsyncTestCase


def write_certificate(directory: Path) -> TlsSettings:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "dalemast test")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    chain, secret = directory / "chain.pem", directory / "key.pem"
    chain.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    secret.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(certificate=str(chain), key=str(secret))


class TlsTests(AsyncTestCase):
    def test_listeners_serve_tls_clients_that_trust_the_certificate(self) -> None:
        async def run(tls: TlsSettings) -> None:
            listener = ListenerSettings(address=FREE_ADDRESS, tls=tls)
            settings = EntrySettings(callers=listener, operators=listener)
            entry = EntryProcess(settings=settings, platform=MemoryPlatform(), system_key=b"k" * 32)
            await entry.start()
            trusting = JsonClient(ca_file=tls.certificate)
            health = f"https://{entry.operators_address}/v1/health"
            self.assertEqual((await trusting.request("GET", health)).status, 200)
            tickets = f"https://{entry.callers_address}/v1/tickets"
            answer = await trusting.request("POST", tickets, body={})
            self.assertEqual(answer.status, 503)
            for url in (health, health.replace("https", "http")):
                failed = False
                try:
                    await JsonClient().request("GET", url)
                except HttpFailure:
                    failed = True
                self.assertTrue(failed, url)
            await entry.close()

        with TemporaryDirectory() as directory:
            self.run_async(run(write_certificate(Path(directory))))
