"""The tests run the sources of their own tree."""

import importlib
import pathlib
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGES = ("schema", "core", "entry", "cli", "platform")


class SourcesTest(unittest.TestCase):
    def test_packages_are_those_of_this_tree(self):
        """Guards against tests that fail, or pass, because of another tree's sources."""
        for name in PACKAGES:
            path = pathlib.Path(importlib.import_module(f"ibiscart_{name}").__file__)
            self.assertTrue(path.is_relative_to(ROOT), path)


if __name__ == "__main__":
    unittest.main()
