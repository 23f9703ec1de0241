import re
from pathlib import Path

README = Path(__file__).parents[1] / "README.md"


class TestReadme:
    def test_example_runs(self):
        examples = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
        assert examples
        for example in examples:
            exec(example, {})
