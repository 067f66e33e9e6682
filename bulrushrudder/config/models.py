"""What all checked models share."""

import pydantic


class Model(pydantic.BaseModel):
    """A checked model that refuses unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)
