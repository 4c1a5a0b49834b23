"""Settings of a node, read from an INI file and checked whole."""

import configparser
import ipaddress
from pathlib import Path
from typing import NamedTuple

from burdockdock.configuration.model import Problem
from burdockdock.overlay.datagrams import Address

_KEYS = {
    "node": {"name", "mesh", "region", "availability_zone"},
    "listen": {"callers", "peers", "operators"},
    "platform": {"url"},
    "peers": {"seeds"},
    "limits": {"drain_timeout_s"},
    "operators": {"notify_url"},
}
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
