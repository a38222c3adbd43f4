"""Tests of the line numbers found in TOML text."""

import unittest

from trefoilgw.settings import toml_lines

TEXT = '''\
# key = "in a comment"
"quoted" = 1
text = """
inside = 1
[inside]
"""
list = [
  "a]", 'b,', # c,
  [1, 2],
  { x = 1, y = 2 },
]
a.b = 3

[table.sub] # comment
key = "x = \\" [ y"
after = 2
'''


class FindLinesTest(unittest.TestCase):
    def test_lines(self):
        """The content of strings and arrays must not be taken for keys."""
        expected = {
            ("quoted",): 2,
            ("text",): 3,
            ("list",): 7,
            ("list", "0"): 8,
            ("list", "1"): 8,
            ("list", "2"): 9,
            ("list", "3"): 10,
            ("a",): 12,
            ("a", "b"): 12,
            ("table",): 14,
            ("table", "sub"): 14,
            ("table", "sub", "key"): 15,
            ("table", "sub", "after"): 16,
        }
        self.assertEqual(expected, toml_lines.find_lines(TEXT))


if __name__ == "__main__":
    unittest.main()
