"""Fixtures; makes this directory's helper modules importable by its tests."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import generation_world
import pytest


@pytest.fixture
def world():
    """A simulation of four engines, two of each version, and two daemons."""
    return generation_world.World(("v1", "v1", "v2", "v2"))
