"""How nodes find each other and pass news on."""
