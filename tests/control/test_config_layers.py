"""How the layers of a configuration combine, without a process."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from ironscale.net.config import ConfigError, load, reload_file
from ironscale.standins.settings import SETTINGS

FILE, EDITED, ENVIRONMENT, OVERLAY = (("127.0.0.1", port) for port in (1, 2, 3, 4))


def text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


class Files:
    """The files that a sidecar's environment names."""

    def __init__(self, folder: Path, **environ: str) -> None:
        self.folder = folder
        self.environ = {"GW_CONFIG": str(folder / "c.json"), **environ}
        self.write(discovery=text(FILE))

    def write(self, **changes: Any) -> None:
        document = {"name": "n0", "listen": "127.0.0.1:0", "settings": SETTINGS, **changes}
        (self.folder / "c.json").write_text(json.dumps(document))

    def write_overlay(self, overlay: dict[str, Any]) -> None:
        self.environ["GW_OVERLAY"] = str(self.folder / "o.json")
        (self.folder / "o.json").write_text(json.dumps({"generation": 1, "overlay": overlay}))


def test_an_overlay_precedes_the_environment_from_the_start_on(tmp_path: Path) -> None:
    files = Files(tmp_path, GW_DISCOVERY=text(ENVIRONMENT), GW_NAME="n1", GW_LISTEN="127.0.0.1:9")
    files.write_overlay({"discovery": text(OVERLAY), "name": "other", "listen": "127.0.0.1:8"})
    found = load(files.environ)
    assert (found.discovery, found.name, found.listen) == (OVERLAY, "n1", ("127.0.0.1", 9))


# Guards against a reload that fails half way where only an overlay or the environment names discovery.
@pytest.mark.parametrize("overlay", [{"discovery": text(OVERLAY)}, {}])
def test_a_file_may_leave_discovery_to_other_layers(overlay: dict[str, Any], tmp_path: Path) -> None:
    files = Files(tmp_path, GW_DISCOVERY=text(ENVIRONMENT))
    files.write()
    files.write_overlay(overlay)
    first = load(files.environ)
    assert reload_file(first, files.environ).discovery == first.discovery == (OVERLAY if overlay else ENVIRONMENT)
    files.write(discovery=text(FILE))
    second = reload_file(first, files.environ)
    assert second.discovery == (OVERLAY if overlay else FILE)
    files.write()
    third = reload_file(second, files.environ)
    assert third.discovery == second.discovery
    assert third.layers.with_overlay(2, {}).combined()["discovery"] == text(FILE)


def test_an_overlay_that_removes_discovery_leaves_the_environments(tmp_path: Path) -> None:
    files = Files(tmp_path, GW_DISCOVERY=text(ENVIRONMENT))
    files.write_overlay({"discovery": None})
    found = load(files.environ)
    assert found.discovery == ENVIRONMENT
    files.write(discovery=text(EDITED))
    with pytest.raises(ConfigError, match="the overlay in force takes 'discovery' away"):
        reload_file(found, files.environ)
    del files.environ["GW_DISCOVERY"]
    with pytest.raises(ConfigError, match="GW_DISCOVERY is not set and the configuration has no 'discovery'"):
        load(files.environ)


# Guards against an invalid address that only shows once an overlay is taken back.
def test_a_files_address_is_validated_while_another_layer_hides_it(tmp_path: Path) -> None:
    files = Files(tmp_path)
    files.write_overlay({"discovery": text(OVERLAY)})
    found = load(files.environ)
    files.write(discovery="nowhere")
    with pytest.raises(ConfigError, match="discovery: expected HOST:PORT, got 'nowhere'"):
        reload_file(found, files.environ)


def test_only_discovery_follows_the_file(tmp_path: Path) -> None:
    files = Files(tmp_path)
    first = load(files.environ)
    files.write(discovery=text(EDITED), settings={**SETTINGS, "instances": 9}, limits={"sockets": 99})
    second = reload_file(first, files.environ)
    assert second.discovery == EDITED
    assert (second.settings, second.sockets) == (first.settings, first.sockets)
    assert second.layers.combined() == {**first.layers.combined(), "discovery": text(EDITED)}
