import pathlib
import unittest

import bulrushrudder
from bulrushrudder.config import document
from bulrushrudder.config import settings_file

DOCS = pathlib.Path(bulrushrudder.__file__).parents[1] / 'docs'
MODELS = (
    document.AccountModel,
    document.DocumentModel,
    document.ModelModel,
    document.RegisterModel,
    document.RouteModel,
    settings_file.AddressModel,
    settings_file.BoundsModel,
    settings_file.ControlModel,
    settings_file.EntryModel,
    settings_file.SecretsModel,
    settings_file.SettingsModel,
)


class ConfigurationPageTests(unittest.TestCase):
    def test_page_names_every_field(self):
        page = (DOCS / 'CONFIGURATION.md').read_text()
        for model in MODELS:
            for name in model.model_fields:
                with self.subTest(f'{model.__name__}.{name}'):
                    self.assertIn(f'`{name}`', page)
