"""Adds this directory to the import path, for `serving_builders`."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
