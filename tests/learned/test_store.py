"""Tests of the snapshot file: power loss, failing and full disks, clocks that step, and two processes."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from ironscale.learned.codec import MAX_BYTES, encode
from ironscale.learned.store import SnapshotFile, load_snapshot, path_for
from ironscale.learned.timestamps import Timestamp, TimestampError, elapsed_between
from tests.deployed import ROOT
from tests.learned.disk import Disk, PowerLoss
from tests.learned.samples import NOW, snapshot

LATER = replace(NOW, running_us=NOW.running_us + 2_000_000, wall_us=NOW.wall_us + 2_000_000)
PATH = Path("/x/n0.learned")


def serial(disk: Disk) -> int | None:
    """The serial number of the snapshot that is found; None if there is no usable one."""
    found, _, _ = load_snapshot(SnapshotFile(PATH, disk), "n0", LATER)
    return None if found is None else found.age_us


def test_after_an_interruption_at_any_step_the_last_or_previous_snapshot_is_loaded() -> None:
    """Stops the third save at each byte, write, sync and rename, then loses unsynced parts in many ways."""
    saved = [encode(snapshot(1, serial=i)) for i in range(3)]
    whole = Disk()
    for data in saved:
        SnapshotFile(PATH, whole).save(data)
    before = Disk()
    for data in saved[:2]:
        SnapshotFile(PATH, before).save(data)
    outcomes = set()
    for stop in range(before.steps, whole.steps + 1):
        disk = Disk(stop_at=stop)
        try:
            for data in saved:
                SnapshotFile(PATH, disk).save(data)
            done = True
        except PowerLoss:
            done = False
        assert serial(disk) in (1, 2), f"killed at step {stop}"  # a killed process loses nothing that was written
        for seed in range(8):
            found = serial(disk.after_power_loss(random.Random(stop * 100 + seed)))
            assert found == 2 if done else found in (1, 2), f"power lost at step {stop}, seed {seed}: {found}"
            outcomes.add(found)
    assert outcomes == {1, 2}


def test_an_interrupted_first_write_leaves_nothing_or_all_of_it() -> None:
    data = encode(snapshot(1, serial=7))
    whole = Disk()
    SnapshotFile(PATH, whole).save(data)
    for stop in range(whole.steps):
        disk = Disk(stop_at=stop)
        with pytest.raises(PowerLoss):
            SnapshotFile(PATH, disk).save(data)
        for seed in range(8):
            assert serial(disk.after_power_loss(random.Random(stop * 100 + seed))) in (None, 7)


def test_a_save_succeeds_whatever_an_interrupted_one_left() -> None:
    """Interrupted at a random step, restarted and interrupted again."""
    saved = [encode(snapshot(1, serial=i)) for i in range(4)]
    rng = random.Random(5)
    for case in range(300):
        disk, last = Disk(), -1
        for i, data in enumerate(saved):
            disk.stop_at = disk.steps + rng.randrange(2 * len(data))
            try:
                SnapshotFile(PATH, disk).save(data)
                last = i
            except PowerLoss:
                disk = disk.after_power_loss(rng)
            found = serial(disk)
            assert (found is None and last < 0) or (found is not None and last <= found <= i), f"case {case}"
            last = max(last, -1 if found is None else found)


@pytest.mark.parametrize("what", ["write", "sync", "rename", "sync_folder"])
def test_a_failing_disk_keeps_the_previous_snapshot(what: str) -> None:
    disk = Disk()
    SnapshotFile(PATH, disk).save(encode(snapshot(1, serial=1)))
    disk.fail[what] = OSError(5, "Input/output error")
    with pytest.raises(OSError, match="Input/output"):
        SnapshotFile(PATH, disk).save(encode(snapshot(1, serial=2)))
    assert serial(disk) in ((1,) if what != "sync_folder" else (1, 2))
    for seed in range(8):
        assert serial(disk.after_power_loss(random.Random(seed))) in (1, 2)


def test_a_disk_full_at_any_byte_keeps_the_previous_snapshot() -> None:
    disk = Disk()
    SnapshotFile(PATH, disk).save(encode(snapshot(1, serial=1)))
    data = encode(snapshot(1, serial=2))
    for room in range(len(data)):
        disk.capacity = room
        with pytest.raises(OSError, match="No space"):
            SnapshotFile(PATH, disk).save(data)
        assert serial(disk) == 1
    disk.capacity = 1 << 20
    SnapshotFile(PATH, disk).save(data)
    assert serial(disk) == 2


def test_a_real_folder_returns_what_was_saved(tmp_path: Path) -> None:
    path = path_for(tmp_path / "deep" / "er", "a/../b c")
    assert path.parent == tmp_path / "deep" / "er"
    store = SnapshotFile(path)
    assert store.acquire()
    for i in range(3):
        store.save(encode(snapshot(2, serial=i)))
    found, age_us, lines = load_snapshot(store, "n0", LATER)
    assert found == snapshot(2, serial=2) and age_us == 2_000_000 and lines == []
    assert (path.stat().st_mode & 0o777, path.parent.stat().st_mode & 0o777) == (0o600, 0o700)
    assert sorted(store.delete()) == [str(path), f"{path}.1"]
    assert load_snapshot(store, "n0", LATER) == (None, 0, [])


@pytest.mark.parametrize(("name", "moment", "words"), [
    ("n1", LATER, "expected what 'n1' learned, got that of another sidecar, 'n0'"),
    ("n0", replace(NOW, running_us=NOW.running_us - 1_500_000), "a time in the future, by 1.5 s of the machine's"),
    ("n0", Timestamp("boot-b", 5, NOW.wall_us - 60_000_000), "a time in the future, by 60.0 s; the clock stepped back"),
])
def test_both_generations_are_rejected_with_a_line_each(
        tmp_path: Path, name: str, moment: Timestamp, words: str) -> None:
    store = SnapshotFile(tmp_path / "n0.learned")
    for i in range(2):
        store.save(encode(snapshot(1, serial=i)))
    found, _, lines = load_snapshot(store, name, moment)
    assert found is None and len(lines) == 2
    assert all(words in text and text.endswith("not used") and "\n" not in text for text in lines)


def test_a_damaged_file_falls_back_on_the_one_before(tmp_path: Path) -> None:
    store = SnapshotFile(tmp_path / "n0.learned")
    for i in range(2):
        store.save(encode(snapshot(1, serial=i)))
    Path(store.current).write_bytes(b"rubbish")
    found, _, lines = load_snapshot(store, "n0", LATER)
    assert found is not None and found.age_us == 0 and "expected it to begin with" in lines[0]


def test_a_pipe_a_folder_or_a_huge_file_under_the_name_is_rejected_with_one_line(tmp_path: Path) -> None:
    store = SnapshotFile(tmp_path / "n0.learned")
    os.mkfifo(store.current)
    os.mkdir(store.previous)
    found, _, lines = load_snapshot(store, "n0", LATER)
    assert found is None and len(lines) == 2 and "Is a directory" in lines[1]
    os.unlink(store.current)
    with open(store.current, "wb") as file:
        file.truncate(MAX_BYTES * 100)
    assert f"expected {MAX_BYTES} bytes at most" in load_snapshot(store, "n0", LATER)[2][0]


def test_a_symbolic_link_under_the_temporary_name_is_not_followed(tmp_path: Path) -> None:
    victim = tmp_path / "victim"
    victim.write_text("mine")
    store = SnapshotFile(tmp_path / "n0.learned")
    os.symlink(victim, store.temporary)
    with pytest.raises(OSError):
        store.save(encode(snapshot(1)))
    assert victim.read_text() == "mine"


def test_within_one_boot_the_running_time_counts_and_a_step_is_reported() -> None:
    back = replace(LATER, wall_us=LATER.wall_us - 3_600_000_000)
    assert elapsed_between(NOW, back) == (2_000_000, "the clock stepped by -3600.0 s since")
    ahead = replace(LATER, wall_us=LATER.wall_us + 86_400_000_000)
    assert elapsed_between(NOW, ahead) == (2_000_000, "the clock stepped by +86400.0 s since")
    assert elapsed_between(NOW, LATER) == (2_000_000, "")


def test_across_boots_the_wall_clock_counts() -> None:
    assert elapsed_between(NOW, Timestamp("boot-b", 1, NOW.wall_us + 5)) == (5, "")
    assert elapsed_between(replace(NOW, boot=""), replace(NOW, boot="", wall_us=NOW.wall_us + 7)) == (7, "")
    with pytest.raises(TimestampError, match="future"):
        elapsed_between(NOW, Timestamp("boot-b", 9 * 10**12, NOW.wall_us - 1))


def test_only_one_process_holds_the_lock(tmp_path: Path) -> None:
    first, second = SnapshotFile(tmp_path / "n0.learned"), SnapshotFile(tmp_path / "n0.learned")
    assert first.acquire() and first.acquire() and not second.acquire()
    first.release()
    assert second.acquire()


KILLED = """
import sys
from pathlib import Path
from ironscale.learned.codec import encode
from ironscale.learned.store import SnapshotFile
from tests.learned.samples import snapshot

store = SnapshotFile(Path(sys.argv[1]))
assert store.acquire()
serial = int(sys.argv[2])
data = [encode(snapshot(40, serial=s)) for s in range(serial + 1, serial + 400)]
print("ready", flush=True)
for s, one in enumerate(data):
    store.save(one)
    print(serial + 1 + s, flush=True)
"""


def test_killed_at_random_instants_while_it_writes(tmp_path: Path) -> None:
    """Kills KILLS processes, each while it saves. For thousands of them: `python -m bench.learned kills`."""
    seed = int(os.environ.get("KILLS_SEED", "1"))
    print("seed", seed)
    rng, path, last = random.Random(seed), tmp_path / "n0.learned", 0
    for number in range(int(os.environ.get("KILLS", "12"))):
        child = subprocess.Popen([sys.executable, "-c", KILLED, str(path), str(last)], cwd=ROOT, text=True,
                                 stdout=subprocess.PIPE)
        assert child.stdout is not None and child.stdout.readline() == "ready\n"
        # every third has told of a save, however slow the disk is
        first = child.stdout.readline() if number % 3 == 0 else ""
        time.sleep(rng.random() * 0.03)
        child.kill()
        told = [int(text) for text in [first, *child.stdout.read().splitlines()] if text]
        child.stdout.close()
        child.wait()
        found, _, lines = load_snapshot(SnapshotFile(path), "n0", LATER)
        acknowledged = max([last, *told])
        # the last acknowledged save is found, or the one that had begun after it
        assert lines == []
        assert (found.age_us if found is not None else 0) in (acknowledged, acknowledged + 1)
        last = found.age_us if found is not None else 0
    assert last > 0
