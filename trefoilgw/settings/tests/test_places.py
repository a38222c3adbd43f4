"""Lines of keys in TOML texts that are hard to scan."""

import unittest

from trefoilgw.settings import places

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


class LinesTest(unittest.TestCase):
    def test_lines(self):
        """Text inside strings and arrays must not shift the lines."""
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
        self.assertEqual(expected, places.lines_of(TEXT))


if __name__ == "__main__":
    unittest.main()
