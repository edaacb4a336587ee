package org.endivetray.proof;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.endivetray.proof")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.endivetray.proof")
class RunCucumberTest {}
