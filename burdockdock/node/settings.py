"""Settings of a node, read from an INI file and checked whole."""

import configparser
import ipaddress
import re
from pathlib import Path
from typing import NamedTuple

from burdockdock.configuration.model import Problem
from burdockdock.overlay.datagrams import Address

_KEYS = {
    "node": {"name", "mesh", "region", "availability_zone"},
    "listen": {"callers", "peers", "operators", "announcements", "readiness"},
    "platform": {"url", "form"},
    "peers": {"seeds"},
    "backend_server": {"service", "address", "announce_interval"},
    "limits": {"drain_timeout_s", "grace_period", "retry_share", "retry_reserve"},
    "operators": {"notify_url"},
}
FORMS = ("own", "objects")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
DEFAULT_RETRY_SHARE = 0.2
DEFAULT_RETRY_RESERVE = 100.0
_NOWHERE: Address = ("", 0)
_REQUIRED = {
    "node": ("name", "mesh", "region", "availability_zone"),
    "listen": ("callers", "peers", "operators"),
    "platform": ("url",),
}


class NodeSettings(NamedTuple):
    """Everything that a node is told at its start.

    :param callers: address of the HTTP server for callers.
    :param peers: address for other nodes, TCP and UDP.
    :param operators: address of the HTTP server for operators and the backend server.
    :param seeds: peers to try when the platform does not answer.
    :param drain_timeout_s: longest time a stop waits for calls in flight.
    :param notify_url: where ends of moves are posted, empty for nowhere.
    :param platform_form: what the platform, callers and backend servers speak.
    :param announcements: address for the backend server alone, port 0 for none.
    :param readiness: address of the question whether the node takes calls.
    :param backend_service: service beside this node, empty to believe any.
    :param backend_address: where that service listens.
    :param announce_interval_s: seconds between the announcements of that service, 0
        where not known.
    :param grace_period_s: seconds from the stop signal to the kill, 0 for no kill.
    :param retry_share: retries at backend servers for each call, of all nodes.
    :param retry_reserve: retries that all nodes together may make beyond that share.
    """

    name: str
    mesh: str
    region: str
    availability_zone: str
    callers: Address
    peers: Address
    operators: Address
    platform_url: str
    seeds: tuple[Address, ...] = ()
    drain_timeout_s: float = 60.0
    notify_url: str = ""
    platform_form: str = "own"
    announcements: Address = _NOWHERE
    readiness: Address = _NOWHERE
    backend_service: str = ""
    backend_address: Address = _NOWHERE
    announce_interval_s: float = 0.0
    grace_period_s: float = 0.0
    retry_share: float = DEFAULT_RETRY_SHARE
    retry_reserve: float = DEFAULT_RETRY_RESERVE


def read_settings(path: Path) -> NodeSettings | list[Problem]:
    """Read a settings file.

    :returns: the settings, or everything that is wrong with them.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [Problem("", "", str(error))]
    return parse_settings(text)


def parse_settings(text: str) -> NodeSettings | list[Problem]:
    """Check the text of a settings file."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0none", inline_comment_prefixes=("#",)
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return [Problem("", "", " ".join(str(error).split()))]
    reader = _Reader(parser)
    reader.check_names()
    settings = NodeSettings(
        name=reader.text("node", "name"),
        mesh=reader.text("node", "mesh"),
        region=reader.text("node", "region"),
        availability_zone=reader.text("node", "availability_zone"),
        callers=reader.address("listen", "callers"),
        peers=reader.address("listen", "peers"),
        operators=reader.address("listen", "operators"),
        platform_url=reader.url("platform", "url"),
        seeds=reader.addresses("peers", "seeds"),
        drain_timeout_s=reader.number("limits", "drain_timeout_s", 60.0, 0, 86_400),
        notify_url=reader.url("operators", "notify_url"),
        platform_form=reader.choice("platform", "form", FORMS),
        announcements=reader.address("listen", "announcements"),
        readiness=reader.address("listen", "readiness"),
        backend_service=reader.text("backend_server", "service"),
        backend_address=reader.address("backend_server", "address"),
        announce_interval_s=reader.duration_s("backend_server", "announce_interval"),
        grace_period_s=reader.duration_s("limits", "grace_period"),
        retry_share=reader.number("limits", "retry_share", DEFAULT_RETRY_SHARE, 0, 1),
        retry_reserve=reader.number(
            "limits", "retry_reserve", DEFAULT_RETRY_RESERVE, 0, 1_000_000
        ),
    )
    return reader.problems or settings


class _Reader:
    """Reads values and collects what is wrong with them."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self.problems: list[Problem] = []

    def check_names(self) -> None:
        """Find unknown sections and keys, and missing ones."""
        for section in self._parser.sections():
            if section not in _KEYS:
                self._problem(section, "", "unknown section")
                continue
            for key in self._parser[section]:
                if key not in _KEYS[section]:
                    self._problem(section, key, "unknown key")
        for section, keys in _REQUIRED.items():
            for key in keys:
                if not self.text(section, key):
                    self._problem(section, key, "missing")

    def text(self, section: str, key: str) -> str:
        """Return a value, empty when absent."""
        return self._parser.get(section, key, fallback="").strip()

    def address(self, section: str, key: str) -> Address:
        """Return a value of the form IP:PORT."""
        text = self.text(section, key)
        if not text:
            return "", 0
        return self._address(section, key, text)

    def addresses(self, section: str, key: str) -> tuple[Address, ...]:
        """Return a list of addresses separated by commas."""
        texts = [part.strip() for part in self.text(section, key).split(",")]
        return tuple(self._address(section, key, text) for text in texts if text)

    def url(self, section: str, key: str) -> str:
        """Return an HTTP address."""
        text = self.text(section, key)
        if text and not text.startswith(("http://", "https://")):
            self._problem(section, key, f"give an http address, not {text!r}")
        return text

    def number(
        self, section: str, key: str, default: float, low: float, high: float
    ) -> float:
        """Return a number between bounds."""
        text = self.text(section, key)
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            self._problem(
                section,
                key,
                f"give a plain number from {low} to {high} without its unit, "
                f"not {text!r}",
            )
            return default
        return value

    def choice(self, section: str, key: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed words, by default the first."""
        text = self.text(section, key) or allowed[0]
        if text not in allowed:
            self._problem(section, key, f"give one of {', '.join(allowed)}")
        return text

    def duration_s(self, section: str, key: str) -> float:
        """Return a time such as ``1500ms`` or ``6s`` in seconds, 0 when absent."""
        text = self.text(section, key)
        if not text:
            return 0.0
        match = _DURATION.fullmatch(text)
        if match is None:
            self._problem(
                section, key, f"give a time such as 1500ms or 6s, not {text!r}"
            )
            return 0.0
        return float(match[1]) / (1000 if match[2] == "ms" else 1)

    def _address(self, section: str, key: str, text: str) -> Address:
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            number = int(port)
        except ValueError:
            number = 0
        if not 0 < number < 65536:
            self._problem(section, key, f"give IP:PORT, not {text!r}")
            return "", 0
        return host.strip("[]"), number

    def _problem(self, section: str, key: str, message: str) -> None:
        self.problems.append(Problem(section, key, message))
