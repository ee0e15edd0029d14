"""Scopes, how several entries combine, and what may be published."""

from __future__ import annotations

import json
from itertools import permutations
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironscale.versions.model import (
    ALL,
    MAX_SCOPE_NAME_CHARS,
    Entry,
    Labels,
    Reach,
    Scope,
    ScopeError,
    combine_layers,
    combine_patches,
    overlay_digest,
    parse_scope,
)
from ironscale.versions.publishing import Draft, RecordedState, check_publish, is_rollback

NAMES = st.text(st.characters(categories=["L", "N", "P"]), min_size=1, max_size=MAX_SCOPE_NAME_CHARS)
SCOPES = st.one_of(st.just(ALL), st.builds(Scope, st.sampled_from([r for r in Reach if r is not Reach.ALL]), NAMES))
KEYS = st.sampled_from("abc")
PATCHES: st.SearchStrategy[Any] = st.recursive(
    st.one_of(st.none(), st.integers(0, 3), st.booleans()), lambda inner: st.dictionaries(KEYS, inner, max_size=3),
    max_leaves=6)
OBJECTS = st.dictionaries(KEYS, PATCHES, max_size=3)


def apply_patch(value: Any, patch: Any) -> Any:
    """The algorithm of RFC 7396, section 2."""
    if not isinstance(patch, dict):
        return patch
    result = dict(value) if isinstance(value, dict) else {}
    for name, change in patch.items():
        if change is None:
            result.pop(name, None)
        else:
            result[name] = apply_patch(result.get(name), change)
    return result


@given(SCOPES)
def test_a_scope_is_parsed_back_from_its_text(scope: Scope) -> None:
    assert parse_scope(str(scope)) == scope


@pytest.mark.parametrize("text", ["", "ALL", "all=x", "zone", "zone=", "zone= a", "zone=a\n", "zones=a", "=a",
                                  "zone=" + "a" * (MAX_SCOPE_NAME_CHARS + 1)])
def test_an_invalid_scope_gives_a_one_line_error(text: str) -> None:
    with pytest.raises(ScopeError, match="scope: expected all, or one of region, zone, service, instance with =NAME"
                       ) as found:
        parse_scope(text)
    assert "\n" not in str(found.value)


def test_an_instance_is_in_the_scopes_of_its_labels_from_wide_to_narrow() -> None:
    assert [str(s) for s in Labels("i", "s", "z", "r").scopes()] == [
        "all", "region=r", "zone=z", "service=s", "instance=i"]
    assert [str(s) for s in Labels("i").scopes()] == ["all", "instance=i"]  # an empty label gives no scope


def test_narrower_scopes_override_wider_ones_in_any_order() -> None:
    entries = [Entry(9 - n, scope, {"who": str(scope), str(scope): n})
               for n, scope in enumerate(Labels("i", "s", "z", "r").scopes())]
    for some in permutations(entries):
        found = combine_layers(some)
        assert found["who"] == "instance=i" and len(found) == 6
    assert combine_layers(entries[:3])["who"] == "zone=z"


def test_an_entry_without_an_overlay_leaves_the_wider_overlays_in_force() -> None:
    assert combine_layers([Entry(1, ALL, {"a": 1}), Entry(2, Scope(Reach.ZONE, "z"), None)]) == {"a": 1}
    # null is kept: it removes the value that the file has
    assert combine_layers([Entry(1, ALL, {"a": 1}), Entry(2, Scope(Reach.ZONE, "z"), {"a": None})]) == {"a": None}


def effective_part(wide: Any, narrow: Any) -> Any:
    """The part of the wide patch that takes effect: a removal or plain value is lost where the narrow patch has an
    object, because a merge patch can't express that the object is to be emptied first."""
    if not isinstance(wide, dict) or not isinstance(narrow, dict):
        return wide
    return {name: effective_part(value, narrow.get(name)) for name, value in wide.items()
            if isinstance(value, dict) or not isinstance(narrow.get(name), dict)}


@given(OBJECTS, OBJECTS, OBJECTS)
def test_a_combined_patch_has_the_effect_of_both_patches(file: dict[str, Any], wide: dict[str, Any],
                                                         narrow: dict[str, Any]) -> None:
    assert apply_patch(file, combine_patches(wide, narrow)) == apply_patch(
        apply_patch(file, effective_part(wide, narrow)), narrow)


def test_a_removal_in_the_wider_patch_does_not_empty_an_object_of_the_narrower() -> None:
    assert combine_patches({"b": None}, {"b": {"x": 1}}) == {"b": {"x": 1}}  # so the other keys of b in the file stay
    assert combine_patches({"b": {"x": 1}}, {"b": None}) == {"b": None}


@given(OBJECTS)
def test_the_digest_does_not_depend_on_the_order_of_keys(overlay: dict[str, Any]) -> None:
    reordered = dict(reversed(overlay.items()))
    assert overlay_digest(reordered) == overlay_digest(overlay) == overlay_digest(json.loads(json.dumps(overlay)))
    assert overlay_digest({**overlay, "d": 1}) != overlay_digest(overlay)


# What may be published


def recorded_state(newest: Entry | None = None, before: Entry | None = None, **more: Any) -> RecordedState:
    values: dict[str, Any] = {"position": 9, "scopes": 1, **more}
    return RecordedState(values["position"], newest, before, values["scopes"], values.get("halt", ""))


@given(st.integers(0, 12), st.one_of(st.none(), st.integers(1, 9)), st.booleans())
def test_a_draft_must_be_based_on_the_newest_version_and_a_conflict_names_it(base: int, newest: int | None,
                                                                             halted: bool) -> None:
    entry = Entry(newest, ALL, {}) if newest else None
    found = check_publish(Draft(ALL, {"a": 1}, base), recorded_state(entry, halt="bob" if halted else ""))
    if base > 9:
        assert found is not None and found.code == "BAD_INPUT"
    elif base != (newest or 0):
        assert found is not None and found.code == "CONFLICT" and found.details["newest"] == (newest or 0)
    else:
        assert (found.code if found is not None else "") == ("HALTED" if halted else "")


@pytest.mark.parametrize(("newest", "before", "overlay", "restores", "expected"), [
    (Entry(3, ALL, {}, base=2), Entry(2, ALL, {}), {"a": 1}, 0, False),
    (Entry(3, ALL, {}, base=2), Entry(2, ALL, {}), {"a": 1}, 2, True),
    (Entry(3, ALL, {}, base=2), Entry(2, ALL, {}), None, 0, False),  # it had an overlay before
    (Entry(3, ALL, {}, base=2), Entry(2, ALL, None), None, 0, True),
    (Entry(3, ALL, {}, base=2), None, None, 0, False),  # what it had before is no longer recorded
    (Entry(3, ALL, {}, base=0), None, None, 0, True),
    (None, None, None, 0, False),
])
def test_a_rollback_returns_to_what_the_scope_had_before(newest: Entry | None, before: Entry | None, overlay: Any,
                                                         restores: int, expected: bool) -> None:
    draft = Draft(ALL, overlay, newest.version if newest else 0, restores=restores)
    assert is_rollback(draft, recorded_state(newest, before)) is expected
    if newest is not None:
        found = check_publish(draft, recorded_state(newest, before, halt="bob"))
        assert (found is None) is expected
