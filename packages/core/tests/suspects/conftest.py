"""Makes this directory's helper modules importable by its tests."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
